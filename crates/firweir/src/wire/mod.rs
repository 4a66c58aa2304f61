//! Messages between firweir's own processes, generated from
//! `schema/firweir.capnp`.

#[allow(
    clippy::all,
    clippy::pedantic,
    clippy::restriction,
    missing_debug_implementations,
    trivial_numeric_casts,
    unused_qualifications,
    reason = "generated code"
)]
#[rustfmt::skip]
pub mod firweir_capnp;
