package httpapi

import (
	"strings"

	"github.com/labstack/echo/v4"

	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
)

type (
	// caller is the authenticated sender of a request.
	caller struct {
		config.Identity
		key     string
		version int64
	}
)

const (
	bearer = "Bearer "
)

func (s *Server) identify(c echo.Context) (*caller, error) {
	key, found := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), bearer)
	if !found || key == "" {
		return nil, code.New(code.Unauthenticated, "a key is needed as a bearer token")
	}
	id, version, known := s.cell.Identify(key)
	if !known {
		// While this VM has no configuration, an unknown key may be valid.
		if err := s.cell.Serving(); err != nil {
			return nil, err
		}
		return nil, code.New(code.Unauthenticated, "the key is not granted")
	}
	return &caller{id, key, version}, nil
}

// requireTeam returns the caller of a request for work, which must use a team key.
func (s *Server) requireTeam(c echo.Context) (*caller, error) {
	sender, err := s.identify(c)
	if err != nil {
		return nil, err
	}
	if sender.Operator {
		return nil, code.New(code.Forbidden, "an operator key asks for no work")
	}
	return sender, nil
}

// requireOperator returns the caller of an administrative request, which must use an
// operator key.
func (s *Server) requireOperator(c echo.Context) (*caller, error) {
	sender, err := s.identify(c)
	if err != nil {
		return nil, err
	}
	if !sender.Operator {
		return nil, code.New(code.Forbidden, "an operator key is needed")
	}
	return sender, nil
}
