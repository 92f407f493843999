import { benchQuarantine } from './bench/quarantine';
for (const r of await benchQuarantine()) console.log(JSON.stringify(r));
