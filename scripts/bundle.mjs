// Bundles every program of the project into dist/, one file per program; with the argument `daemon`,
// only the daemon of the users' platform, into target/.
import { existsSync } from 'node:fs';
import { resolve } from 'node:path';
import { build } from 'esbuild';

const PROGRAMS = {
  nutmegstack: 'src/cli/main.ts',
  gateway: 'platform/main.ts',
  platform: 'stand-ins/platform/main.ts',
  engine: 'stand-ins/engine/main.ts',
  service: 'stand-ins/service/main.ts',
  demo: 'scripts/demo.ts',
  bench: 'bench/main.ts',
  fuzz: 'tests/fuzz/main.ts',
  soak: 'tests/soak/main.ts',
};

const isDeployment = process.argv[2] === 'daemon';
const programs = isDeployment ? { daemon: 'platform/main.ts' } : PROGRAMS;
const present = Object.entries(programs).filter(([, source]) => existsSync(source));

/**
 * Replacements for modules, without the parts that no program uses. A program is compiled completely at
 * startup, and callers wait for that after a loss of all daemons.
 */
const SMALLER_MODULES = {
  rxjs: 'node_modules/rxjs/dist/esm/index.js',
  'hdr-histogram-js': 'node_modules/hdr-histogram-js/dist/HistogramBuilder.js',
};

await build({
  entryPoints: Object.fromEntries(present),
  outdir: isDeployment ? 'target' : 'dist',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  sourcemap: 'linked',
  minifySyntax: true,
  minifyWhitespace: true,
  alias: Object.fromEntries(
    Object.entries(SMALLER_MODULES).map(([name, path]) => [name, resolve(path)]),
  ),
  // The native addon only speeds up cbor-x, which falls back to JavaScript; a binary can't load it.
  external: ['cbor-extract'],
  define: { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' },
  logLevel: 'warning',
});
