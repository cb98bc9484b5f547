// Package engine decides on jobs made of steps: what is accepted, in which order tasks wait,
// where they run, how they are paced, and what their ends mean. It reads no clock and does no
// input or output: its caller passes moments in, stores the changes that it takes out, and
// carries out the effects once these are durable.
package engine
