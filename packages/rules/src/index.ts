/** Ordered rules: model, evaluation, edits and checks. */
export * from './check.js';
export * from './edit.js';
export * from './model.js';
export * from './planEdits.js';
export * from './ruleEvaluator.js';
export * from './ruleFile.js';
export * from './simulate.js';
export * from './stateCondition.js';
export * from './ruleEditor.js';
export * from './ruleHistory.js';
export * from './prefixRules.js';
