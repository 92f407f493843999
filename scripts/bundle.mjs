// Bundles every program of the project into dist/, one file a program; with the argument `daemon`, the
// daemon of the users' platform alone into target/.
import { existsSync } from 'node:fs';
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

await build({
  entryPoints: Object.fromEntries(present),
  outdir: isDeployment ? 'target' : 'dist',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  sourcemap: 'linked',
  // The addon only speeds cbor-x up; its JavaScript does the same without, and a binary can't load it.
  external: ['cbor-extract'],
  define: { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' },
  logLevel: 'warning',
});
