/**
 * Messages between hosts and the usage reporter, and stored usage records.
 */
import * as z from 'zod';

const count = z.number().int().min(0);

const countsSchema = z.record(z.string(), count).readonly();

/** Cumulative counts of one process in one window, so that a repeated message has no effect. */
export const hostWindowSchema = z
  .strictObject({
    window: z.number().int(),
    counts: countsSchema,
    /** True if the counts cannot grow: the window is over, and none of its requests is in flight. */
    isFinal: z.boolean(),
  })
  .readonly();
export type HostWindow = z.infer<typeof hostWindowSchema>;

const processUsageFields = {
  hostId: z.string(),
  incarnation: z.string(),
  windows: z.array(hostWindowSchema).max(64).readonly(),
} as const;

/** Usage counted by one process of a host. */
export const processUsageSchema = z.strictObject(processUsageFields).readonly();
export type ProcessUsage = z.infer<typeof processUsageSchema>;

export const usageUpdateSchema = z
  .strictObject({
    ...processUsageFields,
    /** Wall clock of the sender, for the estimate of true time. */
    wallMs: z.number(),
  })
  .readonly();
export type UsageUpdate = z.infer<typeof usageUpdateSchema>;

export const usageUpdateReplySchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('taken'),
    /** Estimate of true time. */
    trueMs: z.number(),
    /** The last decided window. Usage that arrives after its window was decided is lost. */
    decidedUpTo: z.number().int(),
  }),
  z.strictObject({ kind: z.literal('not-reporter') }),
]);
export type UsageUpdateReply = z.infer<typeof usageUpdateReplySchema>;

/** The report of one window. It is written once and never changed. */
export const usageReportSchema = z
  .strictObject({ window: z.number().int(), counts: countsSchema })
  .readonly();
export type UsageReport = z.infer<typeof usageReportSchema>;

const processUsageListSchema = z.array(processUsageSchema).readonly();

/** Decodes a stored record. Returns an empty list if it is damaged or has another format. */
export function decodeProcessUsages(text: string): readonly ProcessUsage[] {
  try {
    const parsed = processUsageListSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : [];
  } catch {
    return [];
  }
}

/** Decodes a stored report. Returns undefined if it is damaged or has another format. */
export function decodeUsageReport(text: string): UsageReport | undefined {
  try {
    const parsed = usageReportSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
