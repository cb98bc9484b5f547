// Package lenient decodes JSON one entry at a time, so that an entry of a list that can't be read is
// left out and the others hold.
package lenient
