package controller

// Decode exports decode for the fuzz target.
var Decode = decode
