// Bundles the programs of the product into dist/bin, so that a host needs only Node.js.
import fs from 'node:fs';
import { build } from 'esbuild';
import { PRODUCT_BUILD } from './bundleOptions.mjs';

const entryPoints = Object.fromEntries(
  Object.entries(PRODUCT_BUILD.entryPoints).filter(([, entry]) => fs.existsSync(entry)),
);
await build({ ...PRODUCT_BUILD, entryPoints });
for (const name of Object.keys(entryPoints)) fs.chmodSync(`${PRODUCT_BUILD.outdir}/${name}.mjs`, 0o755);
