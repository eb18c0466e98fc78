//! Translates the settings of hosts into the parameters of the rule checker.

use pearfork::{Effect, Group};
use pearfork_host::settings::HostSettings;
use pearfork_rulecheck::record::{
    Class, ClassOf, Effect as CheckedEffect, Group as CheckedGroup, RuleParameters, Volume,
};
use pearfork_rulecheck::wire::{MediaAccess, Op};
use pearfork_scsi::{MediaCommand, MediaOp};
use std::sync::Arc;

/// Returns the parameters with which a recording of hosts with these settings is checked. `start_unix_ms` is
/// the start of the recording as Unix time.
pub fn from_settings(settings: &HostSettings, margin_ms: f64, start_unix_ms: f64) -> RuleParameters {
    let scheduler = &settings.scheduler;
    let classes = settings.class_names.iter().zip(&scheduler.classes).map(|(name, c)| Class {
        name: name.clone(),
        deadline_ms: c.deadline_ms,
        effect: match c.effect {
            Effect::Safe => CheckedEffect::Safe,
            Effect::Unsafe => CheckedEffect::Unsafe,
            Effect::Keyed => CheckedEffect::Keyed {
                group: match c.group {
                    Group::All => CheckedGroup::All,
                    Group::Zone => CheckedGroup::Zone,
                    Group::Shard => CheckedGroup::Shard,
                },
                window_ms: c.window_ms,
            },
        },
        ordered: c.ordered,
    });
    let classified_settings = settings.clone();
    let class_of = move |volume: u32, access: &MediaAccess| {
        let volume = classified_settings.volumes.get(volume as usize)?;
        let op = match access.op {
            Op::Read => MediaOp::Read,
            Op::Write => MediaOp::Write,
            Op::Verify => MediaOp::Verify { compare: false },
            Op::Flush => MediaOp::Flush,
            Op::CompareAndWrite => MediaOp::CompareAndWrite,
        };
        // A recording holds neither the initiator of a request nor the time of day. Matching rules of a
        // scenario must not test the initiator; for the time of day the start of the recording is used, so a
        // scenario must not run across an hour that its rules name.
        let media = MediaCommand {
            op,
            lba: access.lba,
            blocks: u32::try_from(access.blocks).ok()?,
            fua: false,
            group: 0,
        };
        Some(usize::from(classified_settings.matching.class_of(&classified_settings.fields_of(
            volume,
            &media,
            "",
            start_unix_ms,
        ))))
    };
    let volumes = settings.volumes.iter().map(|v| {
        let service_plan = &scheduler.plans[usize::from(v.plan)];
        Volume {
            block_bytes: u64::from(v.unit.block_len),
            extent_blocks: v.extent_blocks,
            limit: (service_plan.limit > 0.0).then_some((
                service_plan.limit,
                service_plan.burst,
                service_plan.slack,
            )),
        }
    });
    RuleParameters {
        classes: classes.collect(),
        class_of: ClassOf(Arc::new(class_of)),
        volumes: volumes.collect(),
        drain_grace_ms: scheduler.drain_grace_ms,
        cold_from: scheduler.cold_from,
        warm_after_ms: scheduler.warm_after_ms,
        fall_multiple: scheduler.fall_multiple,
        fall_ms: scheduler.fall_ms,
        cold_units: scheduler.cold_units,
        key_cooldown_ms: scheduler.key_rest_ms,
        retry_budget: scheduler.retry_budget.map(|e| (e.free, e.ratio, e.span_ms)),
        margin_ms,
    }
}
