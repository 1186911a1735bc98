package site

type (
	// Address is where a caller's request goes, and the key that came with it.
	Address struct {
		Host string
		Path string
		Key  string
	}

	// Status is the state of a job, or of a queue.
	Status struct {
		// OfQueue says that Waiting is meant, else Phase.
		OfQueue bool
		// Waiting is the number of accepted jobs that have not begun.
		Waiting int
		// Phase is a job.Phase.
		Phase int
	}
)
