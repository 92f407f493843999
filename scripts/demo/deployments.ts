/** Defines the two deployments of the demo: zones, servers and example configuration. */

export interface DeploymentSpec {
  readonly name: 'armor' | 'umurage';
  /** Availability zones, with one fabric domain each. */
  readonly zones: readonly string[];
  /** Path of the example configuration, relative to the project root. */
  readonly example: string;
  /** Model and class of the first request. */
  readonly model: string;
  readonly question: string;
  /** Whether the plain service runs a known idempotency key only once. */
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
