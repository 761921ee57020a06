/**
 * Connections and store calls per step of four trainers at 9 hosts.
 */
import { DOMAINS, testLoad } from './homeHostLoad.js';

for (const domains of [1, DOMAINS]) await testLoad(9, domains);
