/**
 * HTTP listeners: a Nest application on the fastify adapter for each kind of client, with its own address and limits.
 */
import 'reflect-metadata';
import type http from 'node:http';
import { Module, type DynamicModule, type Provider, type Type } from '@nestjs/common';
import { NestFactory } from '@nestjs/core';
import { FastifyAdapter, type NestFastifyApplication } from '@nestjs/platform-fastify';
import { splitAddress } from '@fuchsiahitch/base';
import { ServerConnections, SocketConnection } from '@fuchsiahitch/intake';
import type { ClientLimits } from '@fuchsiahitch/limits';
import { BodyParser } from './bodyParser.js';

const MAX_BODY_BYTES = 4 * 1024 * 1024;
const MAX_HEADER_BYTES = 16 * 1024;
/** Clients that take longer to send their headers and body are disconnected. */
const REQUEST_TIMEOUT_MS = 30_000;
const KEEP_ALIVE_TIMEOUT_MS = 30_000;

@Module({})
class ListenerModule {}

export interface ApplicationOptions {
  readonly controller: Type;
  readonly providers: readonly Provider[];
  /** If set, all paths except probes and metrics require this bearer token. */
  readonly token?: string;
}

export interface ListenerOptions extends ApplicationOptions {
  readonly address: string;
  readonly clientLimits: ClientLimits;
  readonly maxConnections: number;
}

/** Answers a request received by another server. */
export type RequestHandler = (request: http.IncomingMessage, response: http.ServerResponse) => void;

const UNAUTHENTICATED_PATHS = new Set(['/healthz', '/readyz', '/metrics']);

export class Listener {
  private readonly _app: NestFastifyApplication;
  readonly address: string;

  private constructor(app: NestFastifyApplication, address: string) {
    this._app = app;
    this.address = address;
  }

  static async start(options: ListenerOptions): Promise<Listener> {
    const app = await createApplication(options, adapter => limitBodies(adapter, options));
    limitConnections(app.getHttpServer(), options);
    const { ip, port } = splitAddress(options.address);
    await app.listen(port, ip);
    const bound = app.getHttpServer().address();
    const boundPort = typeof bound === 'object' && bound ? bound.port : port;
    return new Listener(app, `${ip}:${boundPort}`);
  }

  /** Closes the listener after pending answers are sent. */
  async close(): Promise<void> {
    await this._app.close();
  }
}

/** Creates an application that does not listen itself but handles requests of another server. */
export async function applicationHandler(options: ApplicationOptions): Promise<RequestHandler> {
  const app = await createApplication(options);
  await app.init();
  const fastify = app.getHttpAdapter().getInstance();
  await fastify.ready();
  return (request, response) => fastify.routing(request, response);
}

async function createApplication(
  options: ApplicationOptions,
  configure: (adapter: FastifyAdapter) => void = () => undefined,
): Promise<NestFastifyApplication> {
  const adapter = new FastifyAdapter({
    bodyLimit: MAX_BODY_BYTES,
    requestTimeout: REQUEST_TIMEOUT_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    http: { maxHeaderSize: MAX_HEADER_BYTES },
    forceCloseConnections: 'idle',
  });
  const module: DynamicModule = {
    module: ListenerModule,
    controllers: [options.controller],
    providers: [...options.providers],
  };
  // Nest declares its options as a class but documents them as plain objects.
  // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
  const app = await NestFactory.create<NestFastifyApplication>(module, adapter, {
    logger: false,
    bodyParser: false,
  });
  adapter.getInstance().removeAllContentTypeParsers();
  configure(adapter);
  if (options.token !== undefined) requireToken(adapter, options.token);
  return app;
}

function limitBodies(adapter: FastifyAdapter, { clientLimits }: ListenerOptions): void {
  const fastify = adapter.getInstance();
  const parser = new BodyParser(clientLimits, MAX_BODY_BYTES);
  fastify.addContentTypeParser('*', async (_request: unknown, payload: http.IncomingMessage) =>
    parser.parse(payload),
  );
  fastify.addHook('onResponse', (request, _reply, done) => {
    parser.release(request.raw);
    done();
  });
}

function limitConnections(server: http.Server, { clientLimits, maxConnections }: ListenerOptions): void {
  const options = clientLimits.connections<SocketConnection>(maxConnections);
  new ServerConnections(options, socket => new SocketConnection(socket)).watch(server);
}

function requireToken(adapter: FastifyAdapter, token: string): void {
  adapter.getInstance().addHook('onRequest', async (request, reply) => {
    const [path = ''] = request.url.split('?');
    if (UNAUTHENTICATED_PATHS.has(path) || request.headers.authorization === `Bearer ${token}`) return;
    await reply.status(401).send({ error: 'an operator token is needed' });
  });
}
