// Package config keeps the configuration document that is in force, follows its changes
// in the key-value service and writes new ones.
package config
