// Package driver declares what jasminebay needs from the systems around it and
// the behaviours that vary; implementations live in the packages below it.
package driver
