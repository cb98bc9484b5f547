// Package explain puts together what the logs of several processes say of one id.
package explain
