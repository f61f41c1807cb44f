// Package whole provides the tests of the whole path: hosts and stand-in backend servers as
// processes of their own, ended, frozen and restarted by signals.
package whole
