package io.radishwinch.cluster.membership;

import io.radishwinch.protocol.generated.Member;
import io.radishwinch.protocol.generated.MemberState;

/**
 * State of one router as known here.
 *
 * @param id identifier, unique in the deployment
 * @param dataCentre data centre
 * @param address peer address
 * @param incarnation number that the router itself raises to refute news about it
 * @param state state
 */
public record MemberInfo(String id, String dataCentre, Address address, long incarnation, MemberState state) {

    /** Returns the state carried by a message. */
    public static MemberInfo from(Member member) {
        return new MemberInfo(
                member.getId(),
                member.getDataCentre(),
                new Address(member.getHost(), member.getPort()),
                member.getIncarnation(),
                member.getState());
    }

    /** Returns the state in the form that messages carry. */
    public Member toThrift() {
        return new Member(id, dataCentre, address.host(), address.port(), incarnation, state);
    }

    /** Returns a copy in another state. */
    public MemberInfo withState(MemberState newState) {
        return new MemberInfo(id, dataCentre, address, incarnation, newState);
    }

    /** Returns a copy with another incarnation, alive. */
    public MemberInfo withIncarnation(long newIncarnation) {
        return new MemberInfo(id, dataCentre, address, newIncarnation, MemberState.ALIVE);
    }

    /** Returns whether this is newer than what is known: the higher incarnation wins, then the higher state. */
    public boolean supersedes(MemberInfo known) {
        return incarnation > known.incarnation
                || (incarnation == known.incarnation && state.getValue() > known.state.getValue());
    }

    /** Returns whether the router takes part: a suspected one does until it is declared dead. */
    public boolean isPresent() {
        return state == MemberState.ALIVE || state == MemberState.SUSPECT;
    }
}
