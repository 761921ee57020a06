/**
 * HTTP controller for operators: rules, accounts, fleet status, metrics and probes.
 */
import { Controller, Get, Inject, Post, Query, Req, Res } from '@nestjs/common';
import type { FastifyReply, FastifyRequest } from 'fastify';
import { editSchema, ruleListSchema, simulate, type RequestFacts } from '@fuchsiahitch/rules';
import { SystemClock } from '@fuchsiahitch/base';
import * as z from 'zod';
import { CallerAccounts } from './callerAccounts.js';
import { validate, readJson } from './callerInput.js';
import { FleetStatus } from './fleetStatus.js';
import { Metrics } from './metrics.js';
import { RulesService } from './rulesService.js';

const BAD_REQUEST = 400;
const CONFLICT = 409;
const UNAVAILABLE = 503;

const factsSchema = z.object({
  kind: z.enum(['completion', 'service', 'sample']).default('completion'),
  caller: z.string().default(''),
  house: z.string().default(''),
  pool: z.string().default(''),
  domain: z.string().default(''),
  priority: z.string().default('normal'),
  version: z.string().default(''),
});
const simulateSchema = z.strictObject({ rules: ruleListSchema, requests: z.array(factsSchema).max(10_000) });

const explainKeySchema = z.strictObject({ key: z.string().min(1) });

@Controller()
export class OperatorsController {
  constructor(
    @Inject(RulesService) private readonly _rules: RulesService,
    @Inject(FleetStatus) private readonly _status: FleetStatus,
    @Inject(Metrics) private readonly _metrics: Metrics,
    @Inject(CallerAccounts) private readonly _accounts: CallerAccounts,
  ) {}

  @Get('/healthz')
  live(): { readonly live: boolean } {
    return { live: true };
  }

  @Get('/readyz')
  ready(@Res() reply: FastifyReply): void {
    const isReady = this._status.isReady();
    void reply.status(isReady ? 200 : UNAVAILABLE).send({ ready: isReady });
  }

  @Get('/metrics')
  async metrics(@Res() reply: FastifyReply): Promise<void> {
    const text = await this._metrics.registry.metrics();
    void reply.header('content-type', this._metrics.registry.contentType).send(text);
  }

  @Get('/v1/rules')
  rules(@Res() reply: FastifyReply): void {
    void reply.send(this._rules.evaluator().document);
  }

  @Post('/v1/rules/edits')
  async edit(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    const edit = readJson(request.body, editSchema);
    if (!edit.ok) {
      this._rejectBadRequest(reply, edit.error);
      return;
    }
    const outcome = await this._rules.submit(edit.value);
    const isRefusal = outcome.kind === 'refused' || outcome.kind === 'unsound';
    const status = outcome.kind === 'accepted' ? 200 : isRefusal ? CONFLICT : UNAVAILABLE;
    void reply
      .status(status)
      .send(outcome.kind === 'accepted' ? { kind: 'accepted', revision: outcome.revision } : outcome);
  }

  @Get('/v1/rules/explain')
  explain(@Query() query: unknown, @Res() reply: FastifyReply): void {
    const facts = validate(query, factsSchema);
    if (!facts.ok) return this._rejectBadRequest(reply, facts.error);
    const evaluator = this._rules.evaluator();
    void reply.send({ decision: evaluator.decide(facts.value), rules: evaluator.explain(facts.value) });
  }

  /** Reports which decisions a proposed list of rules would change for the given requests. */
  @Post('/v1/rules/simulate')
  simulate(@Req() request: FastifyRequest, @Res() reply: FastifyReply): void {
    const input = readJson(request.body, simulateSchema);
    if (!input.ok) return this._rejectBadRequest(reply, input.error);
    const { document } = this._rules.evaluator();
    const proposed = { ...document, rules: input.value.rules };
    const requests: readonly RequestFacts[] = input.value.requests;
    const changes = simulate(requests, document, proposed, new SystemClock(), () => 0);
    void reply.status(200).send({ requests: requests.length, changes });
  }

  @Get('/v1/accounts')
  accounts(@Res() reply: FastifyReply): void {
    void reply.send(this._accounts.summaries());
  }

  /** Reports the access that this host grants to a key. */
  @Post('/v1/accounts/explain')
  explainKey(@Req() request: FastifyRequest, @Res() reply: FastifyReply): void {
    const input = readJson(request.body, explainKeySchema);
    if (!input.ok) return this._rejectBadRequest(reply, input.error);
    void reply.status(200).send(this._accounts.access({ kind: 'key', key: input.value.key }));
  }

  @Get('/v1/status')
  async status(@Res() reply: FastifyReply): Promise<void> {
    void reply.send(await this._status.read());
  }

  private _rejectBadRequest(reply: FastifyReply, text: string): void {
    this._metrics.badInput.inc({ listener: 'operators' });
    void reply.status(BAD_REQUEST).send({ error: text });
  }
}
