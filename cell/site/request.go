package site

type (
	// Address is the host and path of a caller's request, and its API key.
	Address struct {
		Host string
		Path string
		Key  string
	}

	// Status is the status of a job or of a queue.
	Status struct {
		// OfQueue is set for the status of a queue, which is in Waiting. Otherwise
		// the status is in Phase.
		OfQueue bool
		// Waiting is the number of accepted jobs that have not started.
		Waiting int
		// Phase is a job.Phase.
		Phase int
	}
)
