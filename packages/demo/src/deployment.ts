/**
 * Scaled-down versions of the users' two deployments.
 */

/** A pool, with its number of endpoints per failure domain. */
export interface PoolPlan {
  readonly name: string;
  readonly kind: 'engine' | 'service';
  readonly perDomain: readonly number[];
}

export interface DeploymentPlan {
  readonly name: string;
  readonly domains: readonly string[];
  readonly hostsPerDomain: readonly number[];
  readonly engines: PoolPlan;
  readonly services: PoolPlan;
  readonly house: string;
  readonly trainers: readonly string[];
  /** Idempotent path of the plain service. */
  readonly lookupPath: string;
}

export const NILEMOD: DeploymentPlan = {
  name: 'nilemod',
  domains: ['nasr-hall', 'maadi-hall', 'giza-hall'],
  hostsPerDomain: [3, 3, 3],
  engines: { name: 'gen-pool', kind: 'engine', perDomain: [3, 3, 2] },
  services: { name: 'storefront', kind: 'service', perDomain: [1, 1, 1] },
  house: 'quest-house',
  trainers: ['nasr-hall:quests', 'giza-hall:barks'],
  lookupPath: '/listings',
};

export const AORAKI: DeploymentPlan = {
  name: 'aoraki',
  domains: ['tekapo', 'twizel', 'otautahi', 'otepoti'],
  hostsPerDomain: [2, 2, 2, 2],
  engines: { name: 'guide-lm', kind: 'engine', perDomain: [2, 2, 2, 2] },
  services: { name: 'skybook-app', kind: 'service', perDomain: [1, 1, 1, 1] },
  house: 'guides',
  trainers: ['tekapo:guide', 'otautahi:school'],
  lookupPath: '/listings',
};
