//! Reads the JSON settings of the platform into [`Settings`].

mod field;

use serde_json::Value;

use crate::interface::{Class, Discovery, Effect, KeyGroup, Kind, LateDecay, RateHint, Settings, Tenant};
pub use field::{Field, InvalidValue, Range, ReadError};

/// Key of the settings object in the configuration; error paths begin with it.
const SETTINGS_KEY: &str = "settings";
/// Maximum sum of the fractions of all tenants; above 1 because thirds may be written as 0.34.
const MAX_SUM_OF_FRACTIONS: f64 = 1.01;

const POSITIVE_DURATION: Range = Range::new("a number of ms above 0", |x| x > 0.0);
const NON_NEGATIVE_DURATION: Range = Range::new("a number of ms, 0 or more", |x| x >= 0.0);
const NON_NEGATIVE: Range = Range::new("a number, 0 or more", |x| x >= 0.0);
const FRACTION: Range = Range::new("a number from 0 to 1", |x| (0.0..=1.0).contains(&x));
const POSITIVE_FRACTION: Range = Range::new("a number above 0, up to 1", |x| x > 0.0 && x <= 1.0);
const POSITIVE_NUMBER: Range = Range::new("a number above 0", |x| x > 0.0);

/// The names of classes, tenants, zones and kinds, in the order of the indices in the policy's interface.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// Names of the classes of message.
    pub classes: Vec<String>,
    /// Names of the tenants; empty for a tenant without a name.
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the kinds of destination.
    pub kinds: Vec<String>,
}

/// Reads settings from JSON text as [`read`] does.
///
/// # Errors
///
/// [`ReadError`] if the text is not JSON, or a setting has the wrong type or is out of range.
pub fn parse(json_text: &[u8]) -> Result<Settings, ReadError> {
    let json: Value = serde_json::from_slice(json_text)
        .map_err(|error| ReadError::NotJson { reason: error.to_string() })?;
    read(&json)
}

/// Reads the names of classes, tenants, zones and kinds from a JSON value.
///
/// # Errors
///
/// [`ReadError`] if a name is not a string, or the name of a class is missing or not unique.
pub fn names(json: &Value) -> Result<Names, ReadError> {
    let root = Field::new(json, SETTINGS_KEY);
    let read_text = |field: Field<'_>| Ok(field.text_or("")?.to_owned());
    let read_name = |field: Field<'_>| read_text(field.child("name"));
    let lanes = root.child("lanes");
    let classes = lanes.map(read_name)?;
    for (class_index, name) in classes.iter().enumerate() {
        let field = lanes.at(class_index).child("name");
        if name.is_empty() {
            return Err(field.invalid("a name"));
        }
        if let Some(first) = classes[..class_index].iter().position(|other| other == name) {
            return Err(field.invalid(&format!("another name than that of {SETTINGS_KEY}.lanes[{first}]")));
        }
    }
    Ok(Names {
        classes,
        tenants: root.child("projects").map(read_name)?,
        zones: root.child("azs").map(read_text)?,
        kinds: root.child("kinds").map(read_text)?,
    })
}

/// Reads settings from a JSON value: each key of the configuration becomes a field of [`Settings`]. Unknown
/// keys are ignored.
///
/// # Errors
///
/// [`ReadError`] if a setting has the wrong type or is out of range.
pub fn read(json: &Value) -> Result<Settings, ReadError> {
    let root = Field::new(json, SETTINGS_KEY);
    let extra = root.child("extra");
    let limits = root.child("limits");
    let rules = root.child("rules");
    let kinds = kinds(&root)?;
    let classes = classes(&root)?;
    Ok(Settings {
        zone: zone(&root.child("az"))?,
        peers_total: root.child("peers_total").whole_or(1, 0)? as usize,
        classes,
        kinds,
        tenants: tenants(&root.child("projects"))?,
        over_quota_value: root.child("over_share_worth").number_or(1.0, Range::ANY)?,
        late_decay: extra.child("loses_worth").variant_or(
            LateDecay::Linear,
            &[("linear", LateDecay::Linear), ("halving", LateDecay::Halving)],
        )?,
        slots: extra.child("calls_out").whole(1)? as usize,
        max_pending: limits.child("most_held").whole(1)? as usize,
        max_attempts: limits.child("max_attempts").whole(1)?,
        max_retry_after: limits.child("max_retry_after").number_or(0.0, Range::ANY)?,
        retry_after: limits.child("retry_after").flag_or(false)?,
        health_checks: limits.child("probing").flag_or(false)?,
        cancelling: limits.child("cancelling").flag_or(false)?,
        streams_per_connection: limits.child("max_streams").whole_or(1, 0)? as usize,
        idle_close: limits.child("idle_close").number_or(0.0, Range::ANY)?,
        connect_timeout: limits.child("connect_timeout").number_or(0.0, Range::ANY)?,
        rate_hint: root.child("weights").variant_or(
            RateHint::None,
            &[("off", RateHint::None), ("nominal", RateHint::Nominal), ("rough", RateHint::Rough)],
        )?,
        discovery: discovery(&root)?,
        cross_zone_price: root.child("tariffs").child("cross_zone").number_or(0.0, Range::ANY)?,
        zone_fees: extra.child("fee_by_zone").map(|fee| fee.number(Range::ANY))?,
        recovery_start_share: rules.child("cold_from").number_or(1.0, POSITIVE_FRACTION)?,
        recovery_duration: rules.child("warm_within").number_or(0.0, NON_NEGATIVE_DURATION)?,
        overload_multiple: rules.child("fall_multiple").number_or(1.0, POSITIVE_NUMBER)?,
        overload_duration: rules.child("tip_after").number_or(0.0, NON_NEGATIVE_DURATION)?,
        ordering_key_pause: rules.child("turn_gap").number_or(0.0, NON_NEGATIVE_DURATION)?,
        tick: root.child("tick").number_or(0.0, NON_NEGATIVE_DURATION)?,
    })
}

fn zone(field: &Field<'_>) -> Result<u8, ReadError> {
    u8::try_from(field.whole_or(0, 0)?).map_err(|_| field.invalid("a whole number from 0 to 255"))
}

fn kinds(root: &Field<'_>) -> Result<Vec<Kind>, ReadError> {
    let names = root.child("kinds");
    let extra = root.child("extra");
    let max_batches = extra.child("bundle_max");
    let limits_per_route = extra.child("kind_apart");
    let read_kind = |index| {
        let max_batch = max_batches.at(index).whole_or(1, 1)? as usize;
        let limit_per_route = limits_per_route.at(index).flag_or(false)?;
        Ok(Kind { max_batch, limit_per_route })
    };
    let kind_count = names.len().max(max_batches.len()).max(limits_per_route.len());
    if kind_count == 0 {
        return Err(names.invalid("a list with at least one kind of destination"));
    }
    (0..kind_count).map(read_kind).collect()
}

fn classes(root: &Field<'_>) -> Result<Vec<Class>, ReadError> {
    let lanes = root.child("lanes");
    let classes = lanes.map(class)?;
    if classes.is_empty() {
        return Err(lanes.invalid("a list with at least one class of message"));
    }
    Ok(classes)
}

fn tenants(projects: &Field<'_>) -> Result<Vec<Tenant>, ReadError> {
    let fractions = projects.map(|field| field.child("fraction").number_or(0.0, FRACTION))?;
    let sum: f64 = fractions.iter().sum();
    if sum > MAX_SUM_OF_FRACTIONS {
        let sum = Value::from(sum);
        let field = Field::new(&sum, &format!("{SETTINGS_KEY}.projects[*].fraction in total"));
        return Err(field.invalid("a sum of at most 1"));
    }
    projects.map(|field| Ok(Tenant { quota_per_s: field.child("quota_per_s").number_or(0.0, NON_NEGATIVE)? }))
}

fn discovery(root: &Field<'_>) -> Result<Discovery, ReadError> {
    let ask_within = root.child("rules").child("ask_within").number_or(0.0, Range::ANY);
    let on_request = root.child("discovery").variant_or(false, &[("pushed", false), ("on_request", true)])?;
    if on_request { Ok(Discovery::OnRequest { ask_within: ask_within? }) } else { Ok(Discovery::Pushed) }
}

fn class(field: Field<'_>) -> Result<Class, ReadError> {
    // The effect has no default, because whether a message may take effect twice must be set explicitly.
    // `None` stands for an idempotency key, which has a group and a window in addition.
    let effects =
        [("free", Some(Effect::Idempotent)), ("guarded", None), ("single_shot", Some(Effect::NotIdempotent))];
    let effect = match field.child("effect").variant(&effects)? {
        Some(effect) => effect,
        None => Effect::IdempotencyKey {
            group: field.child("group").variant_or(
                KeyGroup::Route,
                &[("all", KeyGroup::All), ("zone", KeyGroup::Zone), ("cell", KeyGroup::Route)],
            )?,
            window: field.child("window").number(POSITIVE_DURATION)?,
        },
    };
    let deadline = field.child("deadline").number(POSITIVE_DURATION)?;
    Ok(Class {
        value: field.child("credit").number_or(1.0, NON_NEGATIVE)?,
        latency_objective: field.child("target").number_or(deadline, POSITIVE_DURATION)?,
        latency_objective_stretch: field.child("aim_stretch").number_or(0.0, NON_NEGATIVE)?,
        deadline,
        late_value: field.child("late_worth").number_or(0.0, FRACTION)?,
        effect,
        ordered: field.child("in_order").flag_or(false)?,
    })
}

#[cfg(test)]
mod tests;
