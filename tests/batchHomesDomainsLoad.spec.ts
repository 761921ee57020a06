/**
 * Connections and store calls per step of four trainers at 75 hosts, submitting at all failure domains.
 */
import { DOMAINS, testLoad } from './homeHostLoad.js';

await testLoad(75, DOMAINS);
