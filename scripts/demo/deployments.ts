/** The two deployments of the demo: places, servers, and the example that configures them. */

export interface DeploymentSpec {
  readonly name: 'armor' | 'umurage';
  /** Availability zones; each has one fabric domain of its own. */
  readonly zones: readonly string[];
  /** Example configuration, from the root of the project. */
  readonly example: string;
  /** A model and a class to try first. */
  readonly model: string;
  readonly question: string;
  /** Whether the plain service runs a known key only once. */
  readonly honoursKey: boolean;
}

export const DEPLOYMENTS: Readonly<Record<DeploymentSpec['name'], DeploymentSpec>> = {
  armor: {
    name: 'armor',
    zones: ['rennes', 'brest', 'lorient'],
    example: 'examples/armor.yaml',
    model: 'stock-query',
    question: 'Is amoxicillin 500 mg on the shelves of Rennes?',
    honoursKey: false,
  },
  umurage: {
    name: 'umurage',
    zones: ['kigali-a', 'kigali-b', 'kigali-c'],
    example: 'examples/umurage.yaml',
    model: 'narrative-draft',
    question: 'Draft a narrative for two hours of contract review.',
    honoursKey: true,
  },
};

/** Members of each fabric domain: a group of four and one spare instance. */
export const MEMBERS_PER_DOMAIN = 5;
/** Processes of the plain service. */
export const SERVICE_PROCESSES = 3;
