/**
 * Schemas and types of the messages, stored records and settings that processes, operators and the
 * platform exchange.
 */
export * from './contracts/accepted.js';
export * from './contracts/audit.js';
export * from './contracts/claim.js';
export * from './contracts/death.js';
export * from './contracts/member.js';
export * from './contracts/message.js';
export * from './contracts/note.js';
export * from './contracts/quota.js';
export * from './contracts/reconciliation.js';
export * from './contracts/resource.js';
export * from './contracts/rollout.js';
export * from './contracts/status.js';
export * from './contracts/survey.js';
export * from './contracts/team_status.js';
export * from './contracts/verdict.js';
export * from './contracts/version.js';
