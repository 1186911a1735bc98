// Package crowd tests entry VMs, as processes, against many clients that do not behave: requests
// that stop short, answers that nobody reads, connections that stay open. It is a module of its
// own so that these tests never run beside others.
package crowd
