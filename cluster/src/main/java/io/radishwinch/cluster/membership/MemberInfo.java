package io.radishwinch.cluster.membership;

import io.radishwinch.protocol.generated.Member;
import io.radishwinch.protocol.generated.MemberState;

/**
 * State of one router in the view of this router.
 *
 * @param id identifier, unique in the deployment
 * @param dataCentre data centre
 * @param address peer address
 * @param incarnation number that the member itself raises to refute a suspicion or a declaration of its death
 * @param state state
 */
public record MemberInfo(String id, String dataCentre, Address address, long incarnation, MemberState state) {

    /** Returns the state encoded in a message. */
    public static MemberInfo from(Member member) {
        return new MemberInfo(
                member.getId(),
                member.getDataCentre(),
                new Address(member.getHost(), member.getPort()),
                member.getIncarnation(),
                member.getState());
    }

    /** Returns the state as a Thrift struct. */
    public Member toThrift() {
        return new Member(id, dataCentre, address.host(), address.port(), incarnation, state);
    }

    /** Returns a copy with another state. */
    public MemberInfo withState(MemberState newState) {
        return new MemberInfo(id, dataCentre, address, incarnation, newState);
    }

    /** Returns a copy with another incarnation and the state alive. */
    public MemberInfo withIncarnation(long newIncarnation) {
        return new MemberInfo(id, dataCentre, address, newIncarnation, MemberState.ALIVE);
    }

    /** Returns whether this state is newer than the known one: the higher incarnation wins, then the higher state. */
    public boolean supersedes(MemberInfo known) {
        return incarnation > known.incarnation
                || (incarnation == known.incarnation && state.getValue() > known.state.getValue());
    }

    /** Returns whether the router is a member; a suspected one is until it is declared dead. */
    public boolean isPresent() {
        return state == MemberState.ALIVE || state == MemberState.SUSPECT;
    }
}
