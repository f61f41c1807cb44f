// Package whole holds the end-to-end tests: hosts and stand-in backend servers (package stand) run as
// separate processes, which the tests kill, freeze and restart with signals.
package whole
