// Command driver-2 runs the cases of the second review that are scripts. It starts the programs of the
// deploy file as processes, with stand-ins for the platform, its runners and its clients on loopback
// addresses, and judges by what these see.
package main
