// Builds dist/nutmegstack, a single executable: a copy of this Node with the bundle embedded.
import { execFileSync } from 'node:child_process';
import { chmod, copyFile, readFile, rm, stat, writeFile } from 'node:fs/promises';
import { inject } from 'postject';

const BUNDLE = 'dist/nutmegstack.cjs';
const BINARY = 'dist/nutmegstack';
const CONFIG = 'dist/sea-config.json';
const BLOB = 'dist/sea-prep.blob';
/** Sentinel by which Node detects an embedded program. */
const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

await writeFile(
  CONFIG,
  JSON.stringify({ main: BUNDLE, output: BLOB, disableExperimentalSEAWarning: true }),
);
execFileSync(process.execPath, ['--experimental-sea-config', CONFIG], { stdio: 'inherit' });
await rm(BINARY, { force: true });
await copyFile(process.execPath, BINARY);
await chmod(BINARY, 0o755);
await inject(BINARY, 'NODE_SEA_BLOB', await readFile(BLOB), { sentinelFuse: FUSE });
await rm(BLOB);
await rm(CONFIG);
const { size } = await stat(BINARY);
console.log(`${BINARY}: ${size} bytes`);
