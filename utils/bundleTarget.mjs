// Bundles the programs that run on the users' platform into target/.
import { build } from 'esbuild';
import { TARGET_BUILD } from './bundleOptions.mjs';

await build(TARGET_BUILD);
