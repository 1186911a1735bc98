package front

import (
	"strings"

	"github.com/labstack/echo/v4"

	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
)

type (
	// caller is who sent a request.
	caller struct {
		config.Identity
		key     string
		version int64
	}
)

const (
	bearer = "Bearer "
)

func (f *Front) identify(c echo.Context) (*caller, error) {
	key, found := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), bearer)
	if !found || key == "" {
		return nil, code.New(code.Unauthenticated, "a key is needed as a bearer token")
	}
	id, version, known := f.cell.Identify(key)
	if !known {
		// Before a configuration is in force here the key may well be good.
		if err := f.cell.Serving(); err != nil {
			return nil, err
		}
		return nil, code.New(code.Unauthenticated, "the key is not granted")
	}
	return &caller{id, key, version}, nil
}

// team returns the caller of a request for work.
func (f *Front) team(c echo.Context) (*caller, error) {
	who, err := f.identify(c)
	if err != nil {
		return nil, err
	}
	if who.Operator {
		return nil, code.New(code.Forbidden, "an operator key asks for no work")
	}
	return who, nil
}

// operator returns the caller of a request to the administration.
func (f *Front) operator(c echo.Context) (*caller, error) {
	who, err := f.identify(c)
	if err != nil {
		return nil, err
	}
	if !who.Operator {
		return nil, code.New(code.Forbidden, "an operator key is needed")
	}
	return who, nil
}
