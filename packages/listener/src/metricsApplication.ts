/**
 * Readiness for the platform's balancer, and metrics.
 */
import { Controller, Get, Header, HttpCode, Inject, Res } from '@nestjs/common';
import type { FastifyReply } from 'fastify';
import type { Registry } from 'prom-client';

/** What the controller asks of the process. */
export interface ProcessStatus {
  isReady(): boolean;
  readonly registry: Registry;
}

export const PROCESS_STATUS = Symbol('process status');

@Controller()
export class StatusController {
  private readonly _status: ProcessStatus;

  constructor(@Inject(PROCESS_STATUS) status: unknown) {
    this._status = status as ProcessStatus;
  }

  @Get('/v1/readyz')
  ready(@Res() reply: FastifyReply): void {
    void reply.status(this._status.isReady() ? 200 : 503).send('');
  }

  @Get('/metrics')
  @HttpCode(200)
  @Header('Content-Type', 'text/plain; version=0.0.4')
  async metrics(): Promise<string> {
    return this._status.registry.metrics();
  }
}
