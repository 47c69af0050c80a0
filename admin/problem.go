// SPDX-License-Identifier: Apache-2.0

package admin

import (
	"fmt"
	"net/http"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/eventlog"
	"github.com/mintlift/mintlift/intent"
	"github.com/mintlift/mintlift/weights"
)

// Code is the kind of an error. It is part of the API, for scripts, and determines
// the exit codes of the command line.
type Code string

// Codes of errors.
const (
	CodeInvalid        Code = "invalid"
	CodeUnauthorized   Code = "unauthorized"
	CodeForbidden      Code = "forbidden"
	CodeNotFound       Code = "not_found"
	CodeConflict       Code = "conflict"
	CodeNotProposed    Code = "not_proposed"
	CodeExpired        Code = "expired"
	CodeBadManifest    Code = "bad_manifest"
	CodeNoBoxes        Code = "no_boxes"
	CodeFloor          Code = "floor"
	CodeMemory         Code = "memory"
	CodeUnavailable    Code = "unavailable"
	CodeOutcomeUnknown Code = "unsettled"
)

// Error is an error of the administration API.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Plan, with CodeConflict, is a new plan for the same intent; nil if there is none.
	Plan *intent.Plan `json:"plan,omitempty"`
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Message }

// Errorf returns an Error with a formatted message.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error *Error `json:"error"`
}

// httpStatusOf maps the code of an error to the HTTP status of the response.
var httpStatusOf = map[Code]int{
	CodeInvalid:        http.StatusBadRequest,
	CodeUnauthorized:   http.StatusUnauthorized,
	CodeForbidden:      http.StatusForbidden,
	CodeNotFound:       http.StatusNotFound,
	CodeConflict:       http.StatusConflict,
	CodeNotProposed:    http.StatusConflict,
	CodeExpired:        http.StatusConflict,
	CodeBadManifest:    http.StatusUnprocessableEntity,
	CodeNoBoxes:        http.StatusUnprocessableEntity,
	CodeFloor:          http.StatusUnprocessableEntity,
	CodeMemory:         http.StatusUnprocessableEntity,
	CodeUnavailable:    http.StatusServiceUnavailable,
	CodeOutcomeUnknown: http.StatusGatewayTimeout,
}

// errorOf converts an error of the other packages to an Error with a code.
func errorOf(err error) *Error {
	var e *Error
	switch {
	case errors.As(err, &e):
		return e
	case errors.Is(err, intent.ErrUnknownWorkspace):
		return Errorf(CodeNotFound, "%v", err)
	case errors.Is(err, intent.ErrNoBoxes):
		return Errorf(CodeNoBoxes, "%v", err)
	case errors.Is(err, intent.ErrFloor):
		return Errorf(CodeFloor, "%v", err)
	case errors.Is(err, intent.ErrNoMemory):
		return Errorf(CodeMemory, "%v", err)
	case errors.Is(err, weights.ErrBadManifest):
		return Errorf(CodeBadManifest, "%v", err)
	case errors.Is(err, eventlog.ErrOutcomeUnknown):
		return Errorf(CodeOutcomeUnknown, "it is not known whether the change was accepted: %v", err)
	case errors.Is(err, eventlog.ErrUnavailable):
		return Errorf(CodeUnavailable, "the change was not accepted, the log service does not answer: %v", err)
	case errors.Is(err, errors.NotValid):
		return Errorf(CodeInvalid, "%v", err)
	default:
		return Errorf(CodeUnavailable, "%v", err)
	}
}
