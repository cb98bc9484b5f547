// Package evacuation tells the owner of a cell which data centres are evacuated.
package evacuation
