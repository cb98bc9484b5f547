// Package driver declares the interfaces to external systems and to replaceable policies.
// Implementations live in the packages below it.
package driver
