// Package upload reads the bodies of requests, whose senders may go silent.
package upload
