//go:build !go1.27

package main

import "net/http"

// allowHeaderLines does nothing: before Go 1.27 a server bounds only the size of a request's head.
func allowHeaderLines(*http.Server) {}
