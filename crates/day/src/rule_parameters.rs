//! The stated figures of a plan, in the words of the checker of rules.

use pearfork::{Effect, Group};
use pearfork_host::settings::HostSettings;
use pearfork_rulecheck::record::{
    Class, ClassOf, Effect as CheckedEffect, Group as CheckedGroup, RuleParameters, Volume,
};
use pearfork_rulecheck::wire::{MediaAccess, Op};
use pearfork_scsi::{MediaCommand, MediaOp};
use std::sync::Arc;

/// The figures that a record of hosts with this plan is judged by; `began_ms` is when it began, of the Unix epoch.
pub fn from_settings(plan: &HostSettings, margin_ms: f64, began_ms: f64) -> RuleParameters {
    let m = &plan.scheduler;
    let classes = plan.class_names.iter().zip(&m.classes).map(|(name, c)| Class {
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
    let own = plan.clone();
    let class_of = move |volume: u32, t: &MediaAccess| {
        let volume = own.volumes.get(volume as usize)?;
        let op = match t.op {
            Op::Read => MediaOp::Read,
            Op::Write => MediaOp::Write,
            Op::Verify => MediaOp::Verify { compare: false },
            Op::Flush => MediaOp::Flush,
            Op::CompareAndWrite => MediaOp::CompareAndWrite,
        };
        // A record does not hold who asked, nor the time of day. The rules of a scripted day do not ask for the first;
        // for the second the start of the record stands: a day must not run over an hour that its rules name.
        let media =
            MediaCommand { op, lba: t.lba, blocks: u32::try_from(t.blocks).ok()?, fua: false, group: 0 };
        Some(usize::from(own.matching.class_of(&own.fields_of(volume, &media, "", began_ms))))
    };
    let volumes = plan.volumes.iter().map(|v| {
        let p = &m.plans[usize::from(v.plan)];
        Volume {
            block_bytes: u64::from(v.unit.block_len),
            extent_blocks: v.extent_blocks,
            limit: (p.limit > 0.0).then_some((p.limit, p.burst, p.slack)),
        }
    });
    RuleParameters {
        classes: classes.collect(),
        class_of: ClassOf(Arc::new(class_of)),
        volumes: volumes.collect(),
        drain_grace_ms: m.drain_grace_ms,
        cold_from: m.cold_from,
        warm_after_ms: m.warm_after_ms,
        fall_multiple: m.fall_multiple,
        fall_ms: m.fall_ms,
        cold_units: m.cold_units,
        key_cooldown_ms: m.key_rest_ms,
        retry_budget: m.retry_budget.map(|e| (e.free, e.ratio, e.span_ms)),
        margin_ms,
    }
}
