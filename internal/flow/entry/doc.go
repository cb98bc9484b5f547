// Package entry is the part of an entry that serves jobs made of steps: it knows the
// queues, finds or becomes the owner of the cell, and passes clients' calls to it.
package entry
