// Runs hosts of another checkout's build and of this one in one deployment, on data that the other build wrote.
// Usage: npm run upgrade -- CHECKOUT
// CHECKOUT must be built: npm run setup && node utils/bundleTarget.mjs
import { Checks } from './upgradeChecks.mjs';
import { checkDaemons } from './upgradeDaemons.mjs';
import { checkEdgeHosts } from '../platform/upgrade/edgeHosts.mjs';

const [checkout] = process.argv.slice(2);
if (checkout === undefined) {
  console.error('usage: npm run upgrade -- CHECKOUT');
  process.exit(2);
}
const checks = new Checks();
await checkEdgeHosts(checkout, checks);
await checkDaemons(checkout, checks);
console.log(`${checks.passed} passed, ${checks.failed} failed`);
process.exit(checks.failed === 0 ? 0 : 1);
