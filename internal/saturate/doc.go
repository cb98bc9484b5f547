// Package saturate converts times that others have written, which may be of any size, to time.Duration.
package saturate
