// Package document defines the configuration document of an environment and its checks.
//
// A document is JSON with kebab-case names. Parse refuses unknown, duplicate and
// out-of-range fields and reports every fault at once, each with its path.
package document
