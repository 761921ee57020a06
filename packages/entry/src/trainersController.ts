/**
 * HTTP controller for trainers: steps and weight targets.
 */
import { Controller, Get, Inject, Param, Post, Req, Res } from '@nestjs/common';
import type { FastifyReply, FastifyRequest } from 'fastify';
import { abandonRequestSchema, openRequestSchema, stepKey, takeRequestSchema } from '@fuchsiahitch/steps';
import type { Result } from '@fuchsiahitch/base';
import { readJson, weightsSchema } from './callerInput.js';
import { Metrics } from './metrics.js';
import { OrdersService } from './ordersService.js';
import { StepService } from './stepService.js';

const OK_STATUS = 200;
const BAD_REQUEST = 400;
const NOT_FOUND = 404;
const CONFLICT = 409;
const UNAVAILABLE = 503;

@Controller()
export class TrainersController {
  constructor(
    @Inject(StepService) private readonly _steps: StepService,
    @Inject(OrdersService) private readonly _orders: OrdersService,
    @Inject(Metrics) private readonly _metrics: Metrics,
  ) {}

  @Post('/v1/steps')
  async open(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    const spec = this._valueOrReject(reply, readJson(request.body, openRequestSchema));
    if (!spec) return;
    const opened = await this._steps.open(spec);
    const status =
      opened.kind === 'try-later' ? UNAVAILABLE : opened.kind === 'differs' ? CONFLICT : OK_STATUS;
    void reply.status(status).send(opened);
  }

  @Post('/v1/steps/take')
  async take(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    const take = this._valueOrReject(reply, readJson(request.body, takeRequestSchema));
    if (!take) return;
    const taken = await this._steps.take(take);
    void reply.status(taken.kind === 'unknown-step' ? NOT_FOUND : OK_STATUS).send(taken);
  }

  @Post('/v1/steps/abandon')
  async abandon(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    const abandonRequest = this._valueOrReject(reply, readJson(request.body, abandonRequestSchema));
    if (!abandonRequest) return;
    const { abandoned } = await this._steps.abandon(abandonRequest.key);
    void reply.status(abandoned ? OK_STATUS : UNAVAILABLE).send({ abandoned });
  }

  @Get('/v1/steps/:trainer/:step')
  async progress(
    @Param('trainer') trainer: string,
    @Param('step') step: string,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    const progress = await this._steps.progress(stepKey(trainer, Number(step)));
    void reply.status(progress.known ? OK_STATUS : NOT_FOUND).send(progress);
  }

  @Post('/v1/weights')
  async weights(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    const target = this._valueOrReject(reply, readJson(request.body, weightsSchema));
    if (!target) return;
    const written = await this._orders.setTarget(target.pool, target.version);
    if (written.ok) void reply.status(OK_STATUS).send(written.value);
    else void reply.status(UNAVAILABLE).send({ error: written.error });
  }

  /** Returns the input, or sends a 400 and returns undefined. */
  private _valueOrReject<T>(reply: FastifyReply, read: Result<T, string>): T | undefined {
    if (read.ok) return read.value;
    this._metrics.badInput.inc({ listener: 'trainers' });
    void reply.status(BAD_REQUEST).send({ error: read.error });
    return undefined;
  }
}
