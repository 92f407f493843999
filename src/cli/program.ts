/** Command line parser: subcommands, their flags and their help. */

import sade from 'sade';

import { version as VERSION } from '../../package.json';
import { EXIT } from './command';
import type { Command, CommandContext, CommandResult, StartDaemon } from './command';
import { usage } from './command';
import { apply, check, diff, get } from './commands/documents';
import { explain } from './commands/explain';
import { drain, keys, status, version } from './commands/operations';
import { report } from './commands/report';
import { serve } from './commands/serve';
import { SETTINGS, variableOf } from './settings';
import type { Environment, Flags, SettingSpec } from './settings';

/** One flag of a subcommand. */
interface FlagSpec {
  readonly flag: string;
  readonly help: string;
  readonly byDefault?: string;
}

interface CommandSpec {
  /** Positional arguments, as the help shows them. */
  readonly usage: string;
  readonly help: string;
  readonly flags: readonly FlagSpec[];
  readonly examples?: readonly string[];
  readonly run: Command;
}

const OUTPUT: FlagSpec = { flag: 'output', help: 'text or json', byDefault: 'text' };

const ADMIN_FLAGS: readonly FlagSpec[] = [
  {
    flag: 'admin',
    help: 'Administration addresses of daemons, with commas between (NUTMEGSTACK_ADMIN)',
  },
  { flag: 'key', help: "An operator's key (NUTMEGSTACK_KEY)" },
  OUTPUT,
];

const SERVE_FLAGS: readonly FlagSpec[] = Object.values<SettingSpec>(SETTINGS).map((spec) => ({
  ...spec,
  help: `${spec.help} (${variableOf(spec.flag)})`,
}));

/** Every subcommand by name. */
export const COMMANDS: Readonly<Record<string, CommandSpec>> = {
  serve: {
    usage: '',
    help: 'Run the daemon until SIGTERM, then stop gracefully.',
    flags: SERVE_FLAGS,
    run: serve,
  },
  apply: {
    usage: '[file]',
    help: 'Submit a configuration, or amend the parameters of one organisation.',
    flags: [
      ...ADMIN_FLAGS,
      { flag: 'if-version', help: 'Refuse unless this version is in force' },
      { flag: 'organisation', help: 'Amend this organisation by the fields in the file' },
      { flag: 'change-id', help: 'Name of this change; the same one again takes effect once' },
    ],
    examples: ['apply armor.yaml', 'apply rennes.yaml --organisation rennes'],
    run: apply,
  },
  get: {
    usage: '',
    help: 'Print the configuration in force.',
    flags: [...ADMIN_FLAGS, { flag: 'config-version', help: 'An earlier version' }],
    run: get,
  },
  diff: {
    usage: '[file]',
    help: 'Show what applying a file would change.',
    flags: [...ADMIN_FLAGS, { flag: 'config-version', help: 'Compare with an earlier version' }],
    run: diff,
  },
  explain: {
    usage: '<request> [logs...]',
    help: "Tell what happened to a request, from daemons' logs in files or on standard input.",
    flags: [
      { flag: 'before', help: 'Show beliefs and decisions from so many seconds before it on' },
      OUTPUT,
    ],
    examples: ['explain 9c41d07be2a35f68 front-1.log front-2.log', 'explain 9c41d07b < all.log'],
    run: explain,
  },
  report: {
    usage: '[logs...]',
    help: "Tell who was served, who was not and why, from all daemons' logs in files or on standard input.",
    flags: [{ flag: 'svg', help: 'Also draw what became of requests into this file' }, OUTPUT],
    examples: ['report front-1.log front-2.log', 'report --svg day.svg < all.log'],
    run: report,
  },
  status: {
    usage: '',
    help: 'Show every daemon with the version in force on it.',
    flags: ADMIN_FLAGS,
    run: status,
  },
  drain: {
    usage: '',
    help: 'Take a daemon or an instance out of service gracefully.',
    flags: [
      ...ADMIN_FLAGS,
      { flag: 'daemon', help: 'The daemon to stop' },
      { flag: 'instance', help: 'The instance that gets no new work' },
    ],
    run: drain,
  },
  keys: {
    usage: '[action] [hash]',
    help: 'List, add or remove keys; new makes one without a daemon.',
    flags: [
      ...ADMIN_FLAGS,
      { flag: 'organisation', help: 'Organisation of the key' },
      { flag: 'role', help: 'caller or operator', byDefault: 'caller' },
      { flag: 'class', help: "Class of a caller's key" },
    ],
    examples: [
      'keys add --organisation rennes --class pharmacist',
      'keys remove <hash>',
      'keys new',
    ],
    run: keys,
  },
  check: {
    usage: '[file]',
    help: 'Check a configuration file without a daemon.',
    flags: [OUTPUT],
    run: check,
  },
  version: { usage: '', help: 'Print the version of this program.', flags: [OUTPUT], run: version },
};

const GLOBAL_FLAGS: ReadonlySet<string> = new Set(['-h', '--help', '-v', '--version']);

type Program = ReturnType<typeof sade>;

function buildProgram(): Program {
  const program = sade('nutmegstack').version(VERSION);
  for (const [name, spec] of Object.entries(COMMANDS)) {
    program.command(`${name} ${spec.usage}`.trim(), spec.help);
    for (const { flag, help, byDefault } of spec.flags) {
      // Shown in the help only: a default known to the parser would mask the environment variable.
      const suffix = byDefault === undefined || byDefault === '' ? '' : `; default ${byDefault}`;
      program.option(`--${flag}`, `${help}${suffix}`);
    }
    for (const example of spec.examples ?? []) program.example(example);
    program.action(() => undefined);
  }
  return program;
}

/** A parsed command line: what to run, or a usage error; neither if help was printed. */
interface Parsed {
  readonly run?: Command;
  readonly ctx?: Pick<CommandContext, 'args' | 'flags'>;
  readonly wrong?: CommandResult;
}

interface FlagOptions {
  /** Flags whose values are kept as strings. */
  readonly string: string[];
  readonly unknown: (flag: string) => unknown;
}

/** Arguments, the flags last; undefined if help was printed instead. */
function parseFlags(argv: readonly string[], opts: FlagOptions): readonly unknown[] | undefined {
  const parsed = buildProgram().parse([...argv], { ...opts, lazy: true }) as
    sade.LazyOutput | undefined;
  return parsed?.args;
}

function parseCommand(argv: readonly string[], name: string): Parsed {
  const spec = COMMANDS[name];
  if (spec === undefined) return { wrong: usage(`unknown command ${name}`) };
  const unknown: string[] = [];
  const parsed = parseFlags(argv, {
    string: spec.flags.map(({ flag }) => flag),
    // The returned object becomes the parsed flags; without one, the parser exits the process.
    unknown: (flag) => {
      unknown.push(flag);
      return { _: [] };
    },
  });
  if (unknown[0] !== undefined) return { wrong: usage(`${name}: unknown flag ${unknown[0]}`) };
  if (parsed === undefined) return {};
  const flags = parsed.at(-1) as Flags & { readonly _: readonly unknown[] };
  const args = [...parsed.slice(0, -1), ...flags._].filter((arg) => arg !== undefined);
  return { run: spec.run, ctx: { args: args.map(String), flags } };
}

function parse(argv: readonly string[]): Parsed {
  const name = argv[2];
  if (name === undefined) {
    buildProgram().help();
    return { wrong: usage('no command given') };
  }
  if (!GLOBAL_FLAGS.has(name)) return parseCommand(argv, name);
  buildProgram().parse([...argv], { lazy: true });
  return {};
}

function renderError(name: string, error: NonNullable<CommandResult['error']>): string {
  const origin = [error.step, error.peer].filter((part) => part !== undefined).join(' ');
  const summary = `nutmegstack ${name}: ${error.code}: ${error.message}`;
  const fields = (error.fields ?? []).map(({ path, message }) => `  ${path}: ${message}`);
  return [origin === '' ? summary : `${summary} (${origin})`, ...fields].join('\n');
}

function print(name: string, asJson: boolean, result: CommandResult): void {
  const { value, text, error } = result;
  if (error !== undefined) {
    const shown = asJson ? JSON.stringify({ error }) : renderError(name, error);
    process.stderr.write(`${shown}\n`);
  }
  if (asJson && value !== undefined) process.stdout.write(`${JSON.stringify(value)}\n`);
  if (!asJson && text !== undefined) process.stdout.write(`${text}\n`);
}

/** Runs one command line; resolves with the exit code. */
export async function runProgram(
  argv: readonly string[],
  env: Environment,
  startDaemon: StartDaemon,
): Promise<number> {
  const { run, ctx, wrong } = parse(argv);
  const name = argv[2] ?? '';
  const asJson = ctx?.flags.output === 'json';
  const result =
    wrong ?? (run && ctx ? await run({ ...ctx, env, startDaemon }) : { exit: EXIT.done });
  print(name, asJson, result);
  return result.exit;
}
