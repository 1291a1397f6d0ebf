// Package service is the HTTP client of plain services.
package service
