//go:build race

package scenario

func init() { raceFlags = []string{"-race"} }
