/**
 * Connections and store calls per step of four trainers at 75 hosts, submitting at one failure domain.
 */
import { testLoad } from './homeHostLoad.js';

await testLoad(75, 1);
