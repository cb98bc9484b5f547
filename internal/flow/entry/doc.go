// Package entry is the part of an entry that serves jobs made of steps. It knows the queues, finds
// or becomes the owner of the cell, and forwards clients' calls to the owner.
package entry
