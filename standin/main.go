// Package main is the standin program of shallotkeel.
package main

func main() {}
