//go:build go1.27

package main

import "net/http"

// shortestHeaderLine is the size of a header line of a name of one byte without a value.
const shortestHeaderLine = len("a:\r\n")

// allowHeaderLines lets the size of a request's head alone bound the number of its header lines. Since
// Go 1.27 a server has a bound of its own for that.
func allowHeaderLines(s *http.Server) {
	s.MaxHeaderValueCount = s.MaxHeaderBytes / shortestHeaderLine
}
