/**
 * What hosts tell the one that reports usage.
 */
import * as z from 'zod';

const count = z.number().int().min(0);

const countsSchema = z.record(z.string(), count).readonly();

/** What one process has counted in one window: all of it so far, so that a repeated message changes nothing. */
export const hostWindowSchema = z
  .strictObject({
    window: z.number().int(),
    counts: countsSchema,
    /** True if nothing can be added: the window is over, and no request of it is still on its way. */
    isFinal: z.boolean(),
  })
  .readonly();
export type HostWindow = z.infer<typeof hostWindowSchema>;

const processUsageFields = {
  hostId: z.string(),
  incarnation: z.string(),
  windows: z.array(hostWindowSchema).max(64).readonly(),
} as const;

/** What one process of a host has counted. */
export const processUsageSchema = z.strictObject(processUsageFields).readonly();
export type ProcessUsage = z.infer<typeof processUsageSchema>;

export const usageUpdateSchema = z
  .strictObject({
    ...processUsageFields,
    /** The teller's wall clock as it sends: hosts agree on true time by the clocks of most of them. */
    wallMs: z.number(),
  })
  .readonly();
export type UsageUpdate = z.infer<typeof usageUpdateSchema>;

export const usageUpdateReplySchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('taken'),
    /** True time by the clocks of most hosts. */
    trueMs: z.number(),
    /** Windows up to this one are decided: what is told of them later is lost. */
    decidedUpTo: z.number().int(),
  }),
  z.strictObject({ kind: z.literal('not-reporter') }),
]);
export type UsageUpdateReply = z.infer<typeof usageUpdateReplySchema>;

/** What is reported of a window, decided once. */
export const usageReportSchema = z
  .strictObject({ window: z.number().int(), counts: countsSchema })
  .readonly();
export type UsageReport = z.infer<typeof usageReportSchema>;

const processUsageListSchema = z.array(processUsageSchema).readonly();

/** Nothing for a damaged record, or one of another version. */
export function decodeProcessUsages(text: string): readonly ProcessUsage[] {
  try {
    const parsed = processUsageListSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : [];
  } catch {
    return [];
  }
}

/** Undefined for a damaged record, or one of another version. */
export function decodeUsageReport(text: string): UsageReport | undefined {
  try {
    const parsed = usageReportSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
