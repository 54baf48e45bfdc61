//! Request classes, deadlines, fair share and shedding.
