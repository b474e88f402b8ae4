package controller

// Decode is decode for the fuzz target.
var Decode = decode
